/** What an engine did for one attempt; the oracle of tests. */
export interface RunRecord {
  readonly requestId: string;
  readonly version: string;
  readonly from: number;
  tokens: number;
  whole: boolean;
}
