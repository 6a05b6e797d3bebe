import type {Either} from 'purify-ts';
import {Problem, ProblemKind} from '@bayspool/kernel';
import {applyIntent} from './apply_intent.js';
import type {Configuration} from './configuration.js';
import {describeHazards} from './describe_hazards.js';
import {describeSteps} from './describe_steps.js';
import type {Intent} from './intent.js';
import type {IntentPlan} from './intent_plan.js';
import {listTouchedObjects} from './list_touched_objects.js';

interface Options {
  readonly config: Configuration;
  readonly intent: Intent;
  readonly id: string;
  readonly lapsesAt: number;
}

/** Plans an intent. The intent is applied to a copy of the configuration, so that an impossible one is rejected here. */
export function planIntent(options: Options): Either<Problem, IntentPlan> {
  const {config, intent, id, lapsesAt} = options;
  return applyIntent(config, intent)
    .mapLeft(createRejectionProblem)
    .map(after => ({
      id,
      intent,
      steps: describeSteps(config, intent),
      hazards: describeHazards(config, after, intent),
      basis: Object.fromEntries(
        listTouchedObjects(intent).map(key => [
          key,
          config.revisions[key] ?? -1,
        ]),
      ),
      lapsesAt,
    }));
}

function createRejectionProblem(reason: string): Problem {
  return new Problem({
    kind: ProblemKind.CONFLICT,
    what: reason,
    remedy:
      'check the current state with GET /config and submit another intent',
  });
}
