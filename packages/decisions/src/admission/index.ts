/** Decides which calls are sent, wait or are rejected while capacity is short: pure classes without I/O. */
export type {AdmissionDecision} from './admission_decision.js';
export type {AdmissionRequest} from './admission_request.js';
export type {RetryRequest} from './retry_request.js';
export {RetrySchedule} from './retry_schedule.js';
export type {RetryTime} from './retry_time.js';
export {AdmissionReason} from './admission_reason.js';
export type {DemandDigest} from './demand_digest.js';
export {OverloadControl} from './overload_control.js';
export {subtractDemandDigest} from './subtract_demand_digest.js';
export {sumDemandDigests} from './sum_demand_digests.js';
export {refinePriority} from './refine_priority.js';
export {TokenBucket} from '../limits/token_bucket.js';
