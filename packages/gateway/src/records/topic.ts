/** The record logs that hosts follow; the platform's own names are known to its adapter only. */
const Topic = {
  /** What operators ask: the configuration and roll-outs. */
  OPERATOR: 'operator',
  /** What runners tell of themselves. */
  RUNNERS: 'runners',
  /** What hosts tell operators. */
  STATUS: 'status',
  /** What hosts tell each other: addresses, and when roll-outs began. */
  HOSTS: 'hosts',
} as const;
type Topic = (typeof Topic)[keyof typeof Topic];

export {Topic};
