/** What is known of the runner of a run that ended while nothing was heard of it; the texts appear in logs and metrics. */
const RunSettlement = {
  ENDED: 'ended',
  ALIVE: 'alive',
  LEFT: 'left as planned',
  /** Nothing was learned in time. */
  UNKNOWN: 'unknown',
} as const;
type RunSettlement = (typeof RunSettlement)[keyof typeof RunSettlement];

export {RunSettlement};
