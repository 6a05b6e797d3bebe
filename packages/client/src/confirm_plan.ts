import type {CommandContext} from './command_context.js';
import {ExitCode} from './exit_code.js';
import {describePlan} from './output/describe_plan.js';
import type {PlanResponse} from './plan_response.js';

/** The operator API's response to a confirmation. */
interface Confirmation {
  readonly verdict: 'accepted' | 'rejected' | 'unknown';
  readonly id: string;
  readonly offset?: number;
  readonly lost_to?: string;
  readonly reason?: string;
}

const EXIT_CODES = {
  accepted: ExitCode.OK,
  rejected: ExitCode.REJECTED,
  unknown: ExitCode.UNKNOWN,
} as const;

/** Prints a plan, asks the operator unless `--yes` is given, confirms the plan and prints the verdict. */
export async function confirmPlan(
  context: CommandContext,
  plan: PlanResponse,
): Promise<ExitCode> {
  const {api, flags, print} = context;
  if (!flags.yes) {
    if (!flags.json) print(describePlan(plan));
    if (!(await context.ask('Confirm?'))) {
      print(
        flags.json
          ? JSON.stringify({verdict: 'not-confirmed', id: plan.id})
          : 'Not confirmed; nothing has changed.',
      );
      return ExitCode.NOT_CONFIRMED;
    }
  }
  const confirmation = await api.post<Confirmation>('intents/confirm', {
    plan: plan.plan,
  });
  print(flags.json ? JSON.stringify(confirmation) : describe(confirmation));
  return EXIT_CODES[confirmation.verdict];
}

function describe({
  verdict,
  id,
  offset,
  lost_to: lostTo,
  reason,
}: Confirmation): string {
  if (verdict === 'accepted')
    return `Accepted at offset ${offset}. Follow it with: bayspool watch ${id}`;
  if (verdict === 'unknown')
    return `Not known: ${reason}. Ask again with: bayspool watch ${id}`;
  return `Rejected: ${reason}${lostTo ? ` (it lost to intent ${lostTo})` : ''}`;
}
