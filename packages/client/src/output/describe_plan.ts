import type {PlanResponse} from '../plan_response.js';

const MINUTE_MS = 60_000;

/** Formats a plan as text. */
export function describePlan(plan: PlanResponse): string {
  const steps = plan.steps.map((step, index) => `  ${index + 1}. ${step}`);
  const hazards = plan.hazards.map(hazard => `  ! ${hazard}`);
  return [
    `Plan ${plan.id} (${plan.kind})`,
    ...steps,
    ...(hazards.length > 0 ? ['Hazards', ...hazards] : ['Hazards: none seen']),
    `Lapses in ${Math.round(plan.lapses_in_ms / MINUTE_MS)} minutes. Nothing has changed yet.`,
  ].join('\n');
}
