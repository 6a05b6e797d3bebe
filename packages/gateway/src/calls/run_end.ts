/** Why a host ends a run that its runner has not ended, while the call goes on; the texts appear in logs and metrics. */
const RunEnd = {
  /** The runner sent nothing for too long; another run has delivered, or no connection was up yet. */
  SILENT: 'silent',
  /** The runner has ended without closing the connection. */
  RUNNER_GONE: 'runner is gone',
  /** Another run of the call has delivered. */
  SUPERSEDED: 'another run delivered first',
} as const;
type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

export {RunEnd};
