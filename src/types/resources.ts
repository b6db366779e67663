/**
 * Resources of a worker: its capacity, what is free of it and what a task needs.
 */
import { z } from 'zod';

export const resourcesSchema = z.object({
  /** Thousandths of a processor core. */
  cpuMillis: z.number().int().nonnegative(),
  memoryMb: z.number().int().nonnegative(),
  accelerators: z.number().int().nonnegative(),
});
export type Resources = z.infer<typeof resourcesSchema>;

export const noResources: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/** @returns whether enough of every resource is free */
export const hasEnough = (needs: Resources, free: Resources): boolean =>
  needs.cpuMillis <= free.cpuMillis &&
  needs.memoryMb <= free.memoryMb &&
  needs.accelerators <= free.accelerators;

/** @returns the sum of every resource */
export const addResources = (a: Resources, b: Resources): Resources => ({
  cpuMillis: a.cpuMillis + b.cpuMillis,
  memoryMb: a.memoryMb + b.memoryMb,
  accelerators: a.accelerators + b.accelerators,
});

/** @returns `a` less `b`, at least zero for every resource */
export const subtractResources = (a: Resources, b: Resources): Resources => ({
  cpuMillis: Math.max(a.cpuMillis - b.cpuMillis, 0),
  memoryMb: Math.max(a.memoryMb - b.memoryMb, 0),
  accelerators: Math.max(a.accelerators - b.accelerators, 0),
});

/** @returns the larger amount of every resource */
export const maxResources = (a: Resources, b: Resources): Resources => ({
  cpuMillis: Math.max(a.cpuMillis, b.cpuMillis),
  memoryMb: Math.max(a.memoryMb, b.memoryMb),
  accelerators: Math.max(a.accelerators, b.accelerators),
});
