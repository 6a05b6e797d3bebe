/** Identifies the calls of one priority and workspace. */
export function createFlowKey(priority: number, workspace: string): string {
  return `${priority}/${workspace}`;
}
