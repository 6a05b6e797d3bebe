/** The topics that hosts follow; only the platform's adapter knows their names in the store. */
const Topic = {
  /** Operators' orders: the configuration, rollouts and cordons. */
  OPERATOR: 'operator',
  /** Entries that runners write about themselves. */
  RUNNERS: 'runners',
  /** Status that hosts report to operators. */
  STATUS: 'status',
  /** Records that hosts share: addresses, rollout start times and quarantined requests. */
  HOSTS: 'hosts',
} as const;
type Topic = (typeof Topic)[keyof typeof Topic];

export {Topic};
