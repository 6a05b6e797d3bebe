/** Short fixed texts of why a call was sent or rejected, for callers, logs and metrics. */
export const AdmissionReason = {
  FREE: 'capacity is free',
  CONTINUATION: 'the response has begun',
  FIRST: 'more urgent than what is short',
  ORDERED: 'the engine orders its queue',
  WAITED: 'waited for capacity',
  SHORT: 'capacity is short',
  TOO_LATE: 'no capacity before the deadline',
  LEFT: 'the caller left',
} as const;
