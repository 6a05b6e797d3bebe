import type {PresentRequests} from './present_requests.js';

/** Splits requests by whether they have been answered. */
export function toPresentRequests(
  requests: ReadonlyMap<string, boolean>,
): PresentRequests {
  const all = [...requests.keys()];
  return {
    unanswered: all.filter(fingerprint => !requests.get(fingerprint)),
    answered: all.filter(fingerprint => requests.get(fingerprint)),
  };
}
