import type {Clock} from '../clock/clock.js';
import type {Logger} from '../observability/logger.js';
import type {Metrics} from '../observability/metrics.js';
import type {RandomSource} from '../random/random_source.js';
import type {Tracing} from '../observability/tracing.js';
import type {Service} from './service.js';
import {token} from './token.js';

/** What the kernel itself binds. */
export const tokens = {
  clock: token<Clock>('Clock'),
  random: token<RandomSource>('RandomSource'),
  logger: token<Logger>('Logger'),
  metrics: token<Metrics>('Metrics'),
  tracing: token<Tracing>('Tracing'),
  service: token<Service>('Service'),
};
