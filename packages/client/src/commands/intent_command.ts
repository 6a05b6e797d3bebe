import {writeFileSync} from 'node:fs';
import type {Command} from '../command.js';
import {confirmPlan} from '../confirm_plan.js';
import {ExitCode} from '../exit_code.js';
import {describePlan} from '../output/describe_plan.js';
import type {PlanResponse} from '../plan_response.js';
import {parseIntent} from './parse_intent.js';

/** `bayspool intent KIND SUBJECT`. */
export const intentCommand: Command = {
  name: 'intent',
  summary: 'ask for a plan; with --out keep it, else confirm it at once',
  help: `
  Usage
    bayspool intent set-workspace FILE.json
    bayspool intent allow-version VERSION --workspace W --task T [--forbid]
    bayspool intent roll-out VERSION --cost N --strength N
                    [--steps 0.01,0.1,0.5,1] [--exposure N]
    bayspool intent retire VERSION
    bayspool intent withdraw VERSION
    bayspool intent resume-roll-out VERSION
    bayspool intent move-workspace WORKSPACE --to PLACE
    bayspool intent drain-host HOST
    bayspool intent drain-runner RUNNER
    bayspool intent undrain --host HOST | --runner RUNNER | --place PLACE
    bayspool intent hand-over-place PLACE --to PLACE
    bayspool intent set-limit WORKSPACE --rate N [--burst N] | --none

  Options
    --out FILE  keep the plan in FILE and confirm nothing
    --yes       confirm without asking
    --json      print the plan or the verdict as JSON
`,
  async run(context) {
    const {api, flags, args, print} = context;
    const plan = await api.post<PlanResponse>(
      'intents',
      parseIntent(args, flags),
    );
    if (flags.out === undefined) return confirmPlan(context, plan);
    writeFileSync(flags.out, `${JSON.stringify(plan, null, 2)}\n`);
    print(
      flags.json
        ? JSON.stringify(plan)
        : `${describePlan(plan)}\nConfirm it with: bayspool confirm ${flags.out}`,
    );
    return ExitCode.OK;
  },
};
