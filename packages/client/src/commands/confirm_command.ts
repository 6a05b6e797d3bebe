import {readFileSync} from 'node:fs';
import {ClientFailure} from '../client_failure.js';
import type {Command} from '../command.js';
import {confirmPlan} from '../confirm_plan.js';
import {ExitCode} from '../exit_code.js';
import type {PlanResponse} from '../plan_response.js';

/** `bayspool confirm FILE`. */
export const confirmCommand: Command = {
  name: 'confirm',
  summary: 'confirm a plan that was kept with --out',
  help: `
  Usage
    bayspool confirm plan.json [--yes] [--json]

  Any host of the fleet takes the confirmation. Confirming twice is harmless.
`,
  async run(context) {
    return confirmPlan(context, readPlan(context.args[0]));
  },
};

function readPlan(file: string | undefined): PlanResponse {
  if (file === undefined)
    throw new ClientFailure(
      'name the file of the plan; see bayspool confirm --help',
      ExitCode.USAGE,
    );
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as PlanResponse;
  } catch (error) {
    throw new ClientFailure(
      `cannot read a plan from ${file}: ${error instanceof Error ? error.message : error}`,
      ExitCode.USAGE,
    );
  }
}
