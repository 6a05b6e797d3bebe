/** The operator API's response to an intent. */
export interface PlanResponse {
  readonly id: string;
  /** The sealed plan; the client sends it back to confirm it. */
  readonly plan: string;
  readonly kind: string;
  readonly steps: readonly string[];
  readonly hazards: readonly string[];
  readonly basis: Readonly<Record<string, number>>;
  readonly lapses_in_ms: number;
}
