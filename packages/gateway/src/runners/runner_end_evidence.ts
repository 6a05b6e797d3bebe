/** How it is known that a runner has ended; the texts appear in logs and metrics. */
const RunnerEndEvidence = {
  BROKEN: 'connection broke',
  REFUSED: 'connection refused',
  /** Its entry went, and neither it nor its machine replies, though others of its place do. */
  REMOVED: 'entry gone and no reply',
  RESTARTED: 'started again under its id',
  REPLACED: 'another runner at its address',
} as const;
type RunnerEndEvidence =
  (typeof RunnerEndEvidence)[keyof typeof RunnerEndEvidence];

export {RunnerEndEvidence};
