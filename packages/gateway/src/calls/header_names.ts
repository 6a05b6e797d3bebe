/** Names of the headers that the gateway reads and sets, in lower case. */
export interface HeaderNames {
  readonly requestId: string;
  /** Time for which the sender still waits, in ms. */
  readonly deadline: string;
  readonly apiKey: string;
  /** Set by the gateway to the workspace of the API key. */
  readonly workspace: string;
  /** Set by the gateway to the id of the intended runner. */
  readonly expectedRunner: string;
  /** Set by a runner that did not run the request. */
  readonly notRun: string;
  /** A runner's signature of its response. */
  readonly signature: string;
  readonly model: string;
  /** Tokens of the prompt and maximum tokens of the response, separated by a comma. */
  readonly promptSize: string;
  /** ID:TOKENS of each part of the prompt, separated by commas. */
  readonly promptParts: string;
  /** The caller's estimate of the tokens of the response. */
  readonly lengthHint: string;
  readonly session: string;
  readonly lastEventId: string;
  /** The model's confidence in its own response, 0 to 100. */
  readonly confidence: string;
  /** A runner's load report: requests running, requests waiting, and its slots, separated by commas. */
  readonly load: string;
  /**
   * Rate limit that a runner declares for all hosts together, in requests a second, as a decimal
   * number; it applies as long as responses carry it.
   */
  readonly limit: string;
  /** Set to 1 in the responses of a runner that will end soon and takes no new requests. */
  readonly leaving: string;
  /** Beside a runner's 503: how long it wants no requests from this host, in seconds. */
  readonly retryAfter: string;
  /** Number of rejections in a second above which a runner fails; it applies as long as responses carry it. */
  readonly brittle: string;
  /** Priority at the runner, from 0 (most urgent) to 9. */
  readonly priority: string;
  /** Further headers that only the gateway may send to runners. */
  readonly reserved: readonly string[];
}
