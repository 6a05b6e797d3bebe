import {z} from 'zod';

const MAX_MESSAGES = 2_000;
const MAX_TOKENS = 131_072;

const contentPart = z.looseObject({type: z.string()});
const message = z.looseObject({
  role: z.enum([
    'system',
    'developer',
    'user',
    'assistant',
    'tool',
    'function',
  ]),
  content: z.union([z.string(), z.array(contentPart), z.null()]).optional(),
});

/** The body of `POST /v1/chat/completions`. Fields that are not listed here are forwarded to the engine. */
export const completionBody = z.looseObject({
  model: z.string().min(1).max(128),
  messages: z.array(message).min(1).max(MAX_MESSAGES),
  stream: z.boolean().nullish(),
  stream_options: z
    .looseObject({include_usage: z.boolean().optional()})
    .nullish(),
  max_tokens: z.int().min(1).max(MAX_TOKENS).nullish(),
  max_completion_tokens: z.int().min(1).max(MAX_TOKENS).nullish(),
  temperature: z.number().min(0).max(2).nullish(),
  top_p: z.number().min(0).max(1).nullish(),
  /** The router generates a single choice. */
  n: z.literal(1, 'must be 1: this router gives one choice').nullish(),
});
