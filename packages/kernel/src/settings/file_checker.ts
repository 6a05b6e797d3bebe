/** Finds the faults of one kind of file that operators write. */
export interface FileChecker {
  /** What the files are, for messages. */
  readonly name: string;
  /** Whether the file at the path is of this kind. */
  accepts(path: string): boolean;
  /** What is wrong with it, each with the field and the remedy; empty if it is in order. */
  findFaults(path: string): Promise<readonly string[]>;
}
