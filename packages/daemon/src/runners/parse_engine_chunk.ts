import {RunnerFailure, type GenerateEvent} from '@bayspool/decisions';
import {z} from 'zod';

const chunkSchema = z.object({
  id: z.string(),
  token_index: z.int().min(0).optional(),
  choices: z
    .array(
      z.object({
        delta: z.object({content: z.string().optional()}),
        finish_reason: z.string().nullish(),
      }),
    )
    .min(1),
  usage: z
    .object({prompt_tokens: z.int(), completion_tokens: z.int()})
    .nullish(),
});

/** Parses one data line of an engine's event stream. A malformed line fails the attempt. */
export function parseEngineChunk(data: string): GenerateEvent[] {
  const parsed = chunkSchema.safeParse(parseJson(data));
  if (!parsed.success)
    throw new RunnerFailure({
      message: 'the engine sent a malformed chunk',
      mayHaveRun: true,
    });
  const {id: requestId, token_index: index, choices, usage} = parsed.data;
  const [{delta, finish_reason: finishReason}] = choices;
  const events: GenerateEvent[] = [];
  if (delta.content !== undefined && index !== undefined)
    events.push({kind: 'token', requestId, index, text: delta.content});
  if (finishReason) {
    events.push({
      kind: 'final',
      requestId,
      finishReason,
      usage: {
        promptTokens: usage?.prompt_tokens ?? 0,
        completionTokens: usage?.completion_tokens ?? 0,
      },
    });
  }
  return events;
}

function parseJson(data: string): unknown {
  try {
    return JSON.parse(data);
  } catch {
    return undefined;
  }
}
