import type {LossRow} from './loss_row.js';

/** Where requests were lost, by several groupings. */
export interface LossSummary {
  readonly byRoute: readonly LossRow[];
  readonly byPlace: readonly LossRow[];
  /** By second since the first request. */
  readonly bySecond: readonly LossRow[];
  /** Only of requests that were not in time; the most frequent reason first. */
  readonly byReason: readonly LossRow[];
  readonly droppedAnswers: number;
  /** Engine time that reading for dropped answers took, in ms. */
  readonly droppedMs: number;
}
