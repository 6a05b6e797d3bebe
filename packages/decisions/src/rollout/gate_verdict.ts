/** The decision of a gate: pass the version, halt it, or wait for more ratings. */
const GateVerdict = {
  PASS: 'pass',
  HALT: 'halt',
  WAIT: 'wait',
} as const;
type GateVerdict = (typeof GateVerdict)[keyof typeof GateVerdict];

export {GateVerdict};
