import type {EntryProblemKind} from './entry_problem_kind.js';

interface Options {
  readonly kind: EntryProblemKind;
  /** What was wrong, and what to do. */
  readonly message: string;
}

/** An entry of the store that does not say what it should, maybe because another program wrote it. */
export class EntryProblem extends Error {
  readonly kind: EntryProblemKind;

  constructor({kind, message}: Options) {
    super(message);
    this.kind = kind;
  }
}
