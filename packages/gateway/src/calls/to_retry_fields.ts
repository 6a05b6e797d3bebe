import type {RetryTime} from '@bayspool/decisions/admission';
import type {EventFields} from '../observability/event_fields.js';
import {roundToHundredths} from '../observability/round_to_hundredths.js';

/** Describes in a log line when a rejected call may be tried again; empty if that is not known. */
export function toRetryFields(
  retryTime: RetryTime | undefined,
): Partial<EventFields['request_failed']> {
  if (!retryTime) return {};
  const {isReserved, intervalMs, promisedMs, sparePerMs} = retryTime;
  return {
    isRetryReserved: isReserved,
    retryIntervalMs: Math.round(intervalMs),
    retryPromisedMs: Math.round(promisedMs),
    retrySparePerMs: roundToHundredths(sparePerMs),
  };
}
