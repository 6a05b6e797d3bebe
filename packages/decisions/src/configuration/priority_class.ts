/** The priority classes of the admission queue, the most urgent first. */
const PriorityClass = {
  URGENT: 'urgent',
  INTERACTIVE: 'interactive',
  BULK: 'bulk',
} as const;
type PriorityClass = (typeof PriorityClass)[keyof typeof PriorityClass];

export {PriorityClass};
