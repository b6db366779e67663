/**
 * A supervisor that keeps tasks going and reports their errors to no one.
 */
import { noMetrics } from '../adapters/system/noMetrics.js';
import type { Clock } from '../ports/clock.js';
import { TaskSupervisor } from '../utils/taskSupervisor.js';
import { silentLogger } from './silentLogger.js';

/** Creates the supervisor. */
export const silentSupervisor = (clock: Clock): TaskSupervisor =>
  TaskSupervisor.create({ clock, logger: silentLogger, metrics: noMetrics });
