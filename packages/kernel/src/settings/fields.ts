import bytes from 'bytes';
import ms from 'ms';
import {isIP} from 'node:net';
import {z} from 'zod';

const DURATION = /^\d+(\.\d+)?(ms|s|m|h|d)$/;
const SIZE = /^\d+(\.\d+)?(B|KiB|MiB|GiB)$/;
const ENVIRONMENT_PREFIX = 'env:';

function endpointIsValid(text: string): boolean {
  const separator = text.lastIndexOf(':');
  const address = text.slice(0, separator).replace(/^\[|\]$/g, '');
  const port = Number(text.slice(separator + 1));
  return (
    isIP(address) !== 0 && Number.isInteger(port) && port >= 0 && port < 65536
  );
}

function toSecret(text: string, context: z.RefinementCtx): string {
  if (!text.startsWith(ENVIRONMENT_PREFIX)) return text;
  const name = text.slice(ENVIRONMENT_PREFIX.length);
  const value = process.env[name];
  if (value) return value;
  context.addIssue(
    `the secret is missing; set the environment variable ${name}`,
  );
  return z.NEVER;
}

/** Field types for settings: every value with a dimension must carry its unit. */
export const fields = {
  /** `250ms`, `8s`, `5m`, `2h`, `1d`; read as milliseconds. */
  duration: (fallback?: string) =>
    z
      .string()
      .default(fallback as string)
      .refine(
        text => DURATION.test(text),
        'needs a duration with a unit; write it like 250ms, 8s or 5m',
      )
      .transform(text => ms(text as ms.StringValue)),
  /** `64KiB`, `256MiB`; read as bytes. */
  size: (fallback?: string) =>
    z
      .string()
      .default(fallback as string)
      .refine(
        text => SIZE.test(text),
        'needs a size with a unit; write it like 64KiB or 256MiB',
      )
      .transform(text => bytes.parse(text.replace('iB', 'B')) as number),
  /** `10.0.0.7:7100`; host names are refused, since processes find each other by IP number. */
  endpoint: () =>
    z
      .string()
      .refine(
        endpointIsValid,
        'needs an IP number and a port, not a host name; write it like 10.0.0.7:7100',
      ),
  /** A literal secret, or `env:NAME` to take it from the environment. */
  secret: () =>
    z
      .string()
      .min(1, 'the secret is missing; give it here or as env:NAME')
      .transform(toSecret),
  number: (fallback?: number) =>
    z.coerce.number('needs a number').default(fallback as number),
  flag: (fallback: boolean) =>
    z
      .union(
        [
          z.boolean(),
          z.enum(['true', 'false']).transform(text => text === 'true'),
        ],
        'needs true or false',
      )
      .default(fallback),
  /** Comma-separated words. */
  list: (fallback?: string) =>
    z
      .string()
      .default(fallback as string)
      .transform(text =>
        text
          .split(',')
          .map(word => word.trim())
          .filter(Boolean),
      ),
};
