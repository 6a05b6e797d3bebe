import type {LossRow} from './loss_row.js';

/** Outcomes of requests, by several groupings. */
export interface LossSummary {
  readonly byRoute: readonly LossRow[];
  readonly byPlace: readonly LossRow[];
  /** By the second of acceptance, counted from the first request. */
  readonly bySecond: readonly LossRow[];
  /** Only requests that were not answered in time; the most frequent reason first. */
  readonly byReason: readonly LossRow[];
  readonly droppedAnswers: number;
  /** Engine time spent on the prefill of discarded answers, in ms. */
  readonly droppedMs: number;
}
