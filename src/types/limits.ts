/**
 * What the daemons tell one another about the quotas of teams.
 */
import { z } from 'zod';
import { nameSchema } from './inventory.js';

/** Teams that one heartbeat tells of, so that it stays small. */
export const maxDemands = 8;
export const maxLoans = 8;

/** A team that has more work here than its limit lets start. */
export const quotaDemandSchema = z.object({
  teamId: nameSchema,
  waitingTasks: z.number().int().nonnegative(),
  /** Slots that the team holds beyond this daemon's own share. */
  borrowedSlots: z.number().int().nonnegative(),
});
export type QuotaDemand = z.infer<typeof quotaDemandSchema>;

/** A part of the sender's share that another daemon may use for a short time. */
export const quotaLoanSchema = z.object({
  /** Incarnation of the borrower. */
  to: z.string().max(32),
  /** Number of the borrower's notice that the loan answers; its validity counts from there. */
  beat: z.number().int().nonnegative(),
  teamId: nameSchema,
  startsPerS: z.number().nonnegative(),
  slots: z.number().int().nonnegative(),
});
export type QuotaLoan = z.infer<typeof quotaLoanSchema>;

/** The part of a heartbeat that is about quotas. */
export const quotaNoticeSchema = z.object({
  /** Number of this notice. */
  beat: z.number().int().nonnegative(),
  demands: z.array(quotaDemandSchema).max(maxDemands),
  /** Whether every team with borrowed slots stands among the demands. */
  isComplete: z.boolean(),
  loans: z.array(quotaLoanSchema).max(maxLoans),
});
export type QuotaNotice = z.infer<typeof quotaNoticeSchema>;

/** The daemons of a failure domain, as one of them knows them. */
export interface DomainMembers {
  /** Every daemon that the VM list names or that was heard of late, this one included. */
  readonly vmIds: readonly string[];
  /** Whether the VM list names this daemon and every other one is heard. */
  readonly isWhole: boolean;
}
