/** Progress of an accepted intent in one place. */
export interface PlaceProgress {
  readonly place: string;
  readonly hosts: number;
  readonly hosts_in_force: number;
  /** Age of the last digest received from the place, in ms, or -1 without one; above the limit the place counts as cut off. */
  readonly heard_ms_ago: number;
  readonly cut_off: boolean;
}
