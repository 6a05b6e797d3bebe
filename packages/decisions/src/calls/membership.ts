/** What a host knows of the hosts that share bounds with it. */
export interface Membership {
  /**
   * Number of hosts that share a bound: the largest that this host has ever known, including
   * itself, since hosts with which it lost contact may be behind a partition and keep spending.
   * Undefined until it has loaded the registry of hosts.
   */
  readonly hosts: number | undefined;
  /** Whether the registry was read so long after this host entered it that hosts started together are in it. */
  readonly isComplete: boolean;
}
