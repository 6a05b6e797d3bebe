import type {
  PriorityClass,
  Session,
  Task,
  Workspace,
} from '@bayspool/decisions';
import type {Context} from '@opentelemetry/api';

/** A validated request for a completion. */
export interface CompletionRequest {
  readonly id: string;
  readonly billId: string;
  readonly workspace: Workspace;
  readonly taskName: string;
  readonly task: Task;
  readonly priority: PriorityClass;
  /** A version, a model or `auto`. */
  readonly selector: string;
  readonly session: Session | undefined;
  readonly body: Readonly<Record<string, unknown>>;
  /** The concatenated text of all messages. */
  readonly prompt: string;
  /** Whether the caller wants the tokens streamed. */
  readonly stream: boolean;
  /** Monotonic time in ms. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
  readonly trace: Context;
}
