/** Progress of a rollout. */
const RolloutPhase = {
  ACTIVE: 'active',
  COMPLETE: 'complete',
  REVERTED: 'reverted',
} as const;
type RolloutPhase = (typeof RolloutPhase)[keyof typeof RolloutPhase];

export {RolloutPhase};
