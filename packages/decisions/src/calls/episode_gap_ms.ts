/**
 * Pause between runner crashes, in ms, within which a request that was merely retried along with the others has been
 * answered, if a runner was left.
 */
export const EPISODE_GAP_MS = 1_000;
