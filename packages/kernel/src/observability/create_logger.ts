import winston from 'winston';
import type {Logger} from './logger.js';

interface Options {
  readonly program: string;
  readonly level: string;
  readonly format: 'json' | 'text';
}

/** Builds a logger that writes a line an event to standard output. */
export function createLogger(options: Options): Logger {
  const {combine, json, printf, timestamp} = winston.format;
  const text = printf(({level, message, timestamp: time, ...fields}) =>
    [time, level, message, formatFields(fields)].join(' ').trimEnd(),
  );
  return winston.createLogger({
    level: options.level,
    defaultMeta: options.format === 'json' ? {program: options.program} : {},
    format: combine(timestamp(), options.format === 'json' ? json() : text),
    transports: [new winston.transports.Console({stderrLevels: []})],
  });
}

function formatFields(fields: object): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(
      ([key, value]) =>
        `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`,
    )
    .join(' ');
}
