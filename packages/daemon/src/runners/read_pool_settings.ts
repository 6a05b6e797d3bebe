import type {z} from 'zod';
import type {PoolSettings} from './pool_settings.js';
import type {runnerSections} from './runner_sections.js';

const MIN_LIMIT = 1;

/** Derives the settings of a pool from the section `[routing]`. */
export function readPoolSettings(
  routing: z.output<typeof runnerSections.routing.shape>,
): PoolSettings {
  return {
    defaultSlots: routing['limit-initial'],
    maxReportAgeMs: routing['report-max-age'],
    maxQueuedPerClass: routing.queue,
    maxEjectedShare: routing['ejected-part-most'],
    health: {
      maxFailures: routing['eject-after'],
      ejectionMs: routing['eject-for'],
      maxEjectionMs: routing['eject-for-most'],
      slowStartMs: routing['slow-start'],
    },
    limit: {
      initial: routing['limit-initial'],
      min: MIN_LIMIT,
      max: routing['limit-most'],
    },
    prefixes: {
      maxAgeMs: routing['prefix-max-age'],
      maxPrefixes: routing['prefixes-most'],
    },
  };
}
