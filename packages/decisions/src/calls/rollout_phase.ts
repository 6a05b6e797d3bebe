/** How far a roll-out is. */
const RolloutPhase = {
  ACTIVE: 'active',
  COMPLETE: 'complete',
  REVERTED: 'reverted',
} as const;
type RolloutPhase = (typeof RolloutPhase)[keyof typeof RolloutPhase];

export {RolloutPhase};
