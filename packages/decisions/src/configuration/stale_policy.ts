/** How a workspace wants its requests handled when a host can no longer tell whether its configuration is current. */
const StalePolicy = {
  /** Stable versions continue to answer. */
  SERVE: 'serve',
  /** Requests are rejected as not run. */
  REFUSE: 'refuse',
} as const;
type StalePolicy = (typeof StalePolicy)[keyof typeof StalePolicy];

export {StalePolicy};
