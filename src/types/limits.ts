/**
 * Schemas of the quota notices in heartbeats, by which daemons lend each other shares of the quotas of
 * teams.
 */
import { z } from 'zod';
import { nameSchema } from './inventory.js';

/** Largest numbers of demands and of loans in one heartbeat, which keep it small. */
export const maxDemandsPerNotice = 8;
export const maxLoansPerNotice = 8;

/** A team whose limit at the sender delays waiting tasks, or that has borrowed slots there. */
export const quotaDemandSchema = z.object({
  teamId: nameSchema,
  waitingTasks: z.number().int().nonnegative(),
  /** Slots that the team uses at the sender beyond the sender's own share. */
  borrowedSlots: z.number().int().nonnegative(),
});
export type QuotaDemand = z.infer<typeof quotaDemandSchema>;

/** A part of the sender's share of a team's quota that another daemon may use for a short time. */
export const quotaLoanSchema = z.object({
  /** Incarnation of the borrower. */
  to: z.string().max(32),
  /** Number of the borrower's notice that the loan answers; the loan's time runs from that notice. */
  beat: z.number().int().nonnegative(),
  teamId: nameSchema,
  startsPerS: z.number().nonnegative(),
  slots: z.number().int().nonnegative(),
});
export type QuotaLoan = z.infer<typeof quotaLoanSchema>;

/** The part of a heartbeat that is about quotas. */
export const quotaNoticeSchema = z.object({
  /** Number of this notice; increases with every notice of the sender. */
  beat: z.number().int().nonnegative(),
  demands: z.array(quotaDemandSchema).max(maxDemandsPerNotice),
  /** Whether no demand was left out, so that `demands` names every team with borrowed slots. */
  isComplete: z.boolean(),
  loans: z.array(quotaLoanSchema).max(maxLoansPerNotice),
});
export type QuotaNotice = z.infer<typeof quotaNoticeSchema>;

/** The daemons of a failure domain, as seen by one of them. */
export interface DomainMembers {
  /** VMs of all daemons that are on the VM list or reachable, this one included. */
  readonly vmIds: readonly string[];
  /** Whether this daemon is on the VM list and all others on the list are reachable. */
  readonly isFullyReachable: boolean;
}
