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

/** Works out what an intent would do. The intent is tried on a copy, so an impossible one is refused here. */
export function planIntent(options: Options): Either<Problem, IntentPlan> {
  const {config, intent, id, lapsesAt} = options;
  return applyIntent(config, intent)
    .mapLeft(createRefusalProblem)
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

function createRefusalProblem(refusal: string): Problem {
  return new Problem({
    kind: ProblemKind.CONFLICT,
    what: refusal,
    remedy:
      'look at the present state with GET /config and file another intent',
  });
}
