/** Names of the headers that the gateway reads and sets, in lower case. */
export interface HeaderNames {
  readonly requestId: string;
  /** Time that the sender still waits, in ms. */
  readonly deadline: string;
  readonly apiKey: string;
  /** Set by the gateway to the workspace that holds the key. */
  readonly workspace: string;
  /** Set by the gateway to the id of the runner that is meant. */
  readonly expectedRunner: string;
  /** Set by a runner that did not run the request. */
  readonly notRun: string;
  /** A runner's signature of its answer. */
  readonly signature: string;
  readonly model: string;
  /** Tokens of the prompt, and the most of the answer, with a comma between them. */
  readonly promptSize: string;
  /** ID:TOKENS of each part of the prompt, with commas between them. */
  readonly promptParts: string;
  readonly session: string;
  readonly lastEventId: string;
  /** The model's opinion of its own answer, 0 to 100. */
  readonly confidence: string;
  /** What a runner says of itself: requests running, waiting, and its slots, with commas between them. */
  readonly load: string;
  /** Requests a second that a runner takes from all hosts together, as long as it says so: a decimal number. */
  readonly limit: string;
  /** Urgency at the runner, 0 first to 9. */
  readonly priority: string;
  /** Headers that only the gateway may send to runners, besides those above that it sets. */
  readonly reserved: readonly string[];
}
