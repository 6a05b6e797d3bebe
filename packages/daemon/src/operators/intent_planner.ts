import {randomUUID} from 'node:crypto';
import {
  Intent,
  planIntent,
  type IntentPlan,
  type Sealer,
  type IntentVerdict,
} from '@bayspool/decisions';
import {Problem, ProblemKind, type Clock} from '@bayspool/kernel';
import {z} from 'zod';
import type {ConfigurationStore} from '../configuration/configuration_store.js';
import type {IntentSubmitter} from '../configuration/intent_submitter.js';

interface Options {
  readonly clock: Clock;
  readonly store: ConfigurationStore;
  readonly sealer: Sealer;
  readonly submitter: IntentSubmitter;
  /** How long a plan can be confirmed, in ms. */
  readonly planTtlMs: number;
}

/** A plan as returned to the operator, who sends `plan` back to confirm it. */
interface SealedPlan {
  readonly id: string;
  readonly plan: string;
  readonly kind: string;
  readonly steps: readonly string[];
  readonly hazards: readonly string[];
  readonly basis: Readonly<Record<string, number>>;
  readonly lapses_in_ms: number;
}

/** The response to a confirmation. */
interface Confirmation {
  readonly verdict: 'accepted' | 'rejected' | 'unknown';
  readonly id: string;
  readonly offset?: number;
  readonly lost_to?: string;
  readonly reason?: string;
}

const planSchema = z.object({
  id: z.string(),
  intent: Intent.operator,
  steps: z.array(z.string()),
  hazards: z.array(z.string()),
  basis: z.record(z.string(), z.int()),
  lapsesAt: z.number(),
});

/**
 * Plans intents and confirms plans. A plan is sealed and carries its whole content, so
 * any host can confirm it and none stores it.
 */
export class IntentPlanner {
  constructor(private readonly options: Options) {}

  plan(raw: unknown): SealedPlan {
    const {clock, store, sealer, planTtlMs} = this.options;
    if (!store.isReady) throw createNotReadyProblem();
    const intent = parseIntent(raw);
    const lapsesAt = clock.wall() + planTtlMs;
    const result = planIntent({
      config: store.current,
      intent,
      id: randomUUID(),
      lapsesAt,
    });
    const plan: IntentPlan = result.caseOf({
      Left: problem => {
        throw problem;
      },
      Right: value => value,
    });
    return {
      id: plan.id,
      plan: sealer.seal(plan),
      kind: intent.kind,
      steps: plan.steps,
      hazards: plan.hazards,
      basis: plan.basis,
      lapses_in_ms: planTtlMs,
    };
  }

  async confirm(sealed: string, operator: string): Promise<Confirmation> {
    const plan = this.openPlan(sealed);
    const known = this.options.store.findVerdict(plan.id);
    if (known) return toConfirmation(known);
    if (plan.lapsesAt < this.options.clock.wall())
      throw createExpiredPlanProblem();
    const verdict = await this.options.submitter.submit(plan, operator);
    if (verdict) return toConfirmation(verdict);
    return {
      verdict: 'unknown',
      id: plan.id,
      reason: `the log did not answer; ask again with GET /intents/${plan.id}`,
    };
  }

  private openPlan(sealed: string): IntentPlan {
    const opened = this.options.sealer.open(sealed);
    const parsed = planSchema.safeParse(opened.orDefault(undefined));
    if (!parsed.success) throw createInvalidPlanProblem();
    return parsed.data;
  }
}

function parseIntent(raw: unknown): Intent {
  const parsed = Intent.operator.safeParse(raw);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  throw new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: `${issue.path.join('.') || 'the intent'}: ${issue.message}`,
    remedy:
      'correct the intent; its kinds and fields are in docs/operators/intents.md',
  });
}

function toConfirmation(verdict: IntentVerdict): Confirmation {
  return {
    verdict: verdict.accepted ? 'accepted' : 'rejected',
    id: verdict.intentId,
    offset: verdict.offset,
    lost_to: verdict.lostTo,
    reason: verdict.reason,
  };
}

function createNotReadyProblem(): Problem {
  return new Problem({
    kind: ProblemKind.NOT_READY,
    what: 'this host has no configuration yet',
    remedy: 'ask another host, or wait until /readyz says ready',
    retryAfterMs: 1_000,
  });
}

function createExpiredPlanProblem(): Problem {
  return new Problem({
    kind: ProblemKind.CONFLICT,
    what: 'the plan has lapsed',
    remedy: 'file the intent again for a new plan',
  });
}

function createInvalidPlanProblem(): Problem {
  return new Problem({
    kind: ProblemKind.BAD_REQUEST,
    what: 'the plan is not one that this fleet made, or it was altered',
    remedy: 'confirm a plan as it was received from POST /intents',
  });
}
