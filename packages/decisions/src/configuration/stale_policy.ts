/** What a workspace wants when a host can no longer tell whether its configuration is the newest. */
const StalePolicy = {
  /** Stable versions go on answering. */
  SERVE: 'serve',
  /** Requests are refused as not run. */
  REFUSE: 'refuse',
} as const;
type StalePolicy = (typeof StalePolicy)[keyof typeof StalePolicy];

export {StalePolicy};
