/**
 * Admission without load reports: nothing is reserved, and the plan of a job alone decides.
 */
import { noMetrics } from '../adapters/system/noMetrics.js';
import { JobAdmission } from '../admission/jobAdmission.js';
import type { Clock } from '../ports/clock.js';
import { SeededRandom } from './seededRandom.js';
import { silentLogger } from './silentLogger.js';

export const createPlanOnlyAdmission = (clock: Clock): JobAdmission =>
  JobAdmission.create({
    ...{ clock, logger: silentLogger, metrics: noMetrics, random: SeededRandom.create(1) },
    schedulingPolicy: 'deadline',
    serviceLoadOf: () => ({
      ...{ freeCpuMillis: 0, capacityCpuMillis: 0 },
    }),
  });
