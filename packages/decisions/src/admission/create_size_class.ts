import {computeSize} from './compute_size.js';

/** Identifies the calls of one priority that need about the same work. */
export function createSizeClass(priority: number, workMs: number): string {
  return `${priority}/${computeSize(workMs)}`;
}
