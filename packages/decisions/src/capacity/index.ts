/** Estimates of what runners can take and what calls need: pure functions and classes without I/O. */
export {computePrefillTokens} from './compute_prefill_tokens.js';
export type {CallWork} from './call_work.js';
export {DurationEstimator} from './duration_estimator.js';
export {durationKeyOf} from './duration_key_of.js';
export type {DurationSummary} from './duration_summary.js';
export {estimateServiceCapacity} from './estimate_service_capacity.js';
export {forecastRunning} from './forecast_running.js';
export type {RunnerCapacity} from './runner_capacity.js';
export type {RouteDurationSummary} from './route_duration_summary.js';
export {RunnerSpeed} from './runner_speed.js';
export type {ServiceCapacity} from './service_capacity.js';
export type {ServiceTime} from './service_time.js';
export {SlownessNormalizer} from './slowness_normalizer.js';
export type {SpeedExpectation} from './speed_expectation.js';
export type {SpeedSum} from './speed_sum.js';
export {WorkEstimator} from './work_estimator.js';
