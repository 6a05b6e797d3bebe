/** What the usable runners of a service can take now, as one host knows it. */
export interface ServiceCapacity {
  /** Slots of the usable runners, each divided by the runner's slowness; an engine counts as one slot for prefill work. */
  readonly slots: number;
  /** Requests in flight at these runners, from all hosts. */
  readonly running: number;
  /** Work that was sent to these runners and is not finished, from all hosts, in ms of slot time. */
  readonly backlogMs: number;
  /** Work that these runners finish per ms while all slots are busy, in ms of slot time at nominal speed. */
  readonly workPerMs: number;
  /** Age of the figures of other hosts, in ms; Infinity if there are none. */
  readonly ageMs: number;
}
