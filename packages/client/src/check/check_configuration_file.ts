import {readFile} from 'node:fs/promises';
import type {ConfigurationReport} from '@bayspool/platform/checks';
import {ClientFailure} from '../client_failure.js';
import {ConfigurationExitCode} from './configuration_exit_code.js';
import {describeReport} from './describe_report.js';

interface Options {
  readonly path: string;
  /** Path of the configuration in force. */
  readonly inForcePath?: string;
  readonly isStrict: boolean;
  /** Whether to print JSON for programs. */
  readonly isJson: boolean;
  readonly print: (text: string) => void;
}

/** Checks a file with a configuration, and prints what is found and what differs from the one in force. */
export async function checkConfigurationFile({
  path,
  inForcePath,
  isStrict,
  isJson,
  print,
}: Options): Promise<ConfigurationExitCode> {
  const text = await readText(path);
  const inForceText =
    inForcePath === undefined ? undefined : await readText(inForcePath);
  // Imported on demand, like the checkers: no other command needs the platform.
  const {checkConfigurationText} = await import('@bayspool/platform/checks');
  const report = checkConfigurationText(text, inForceText);
  if (isJson) print(JSON.stringify(report, undefined, 2));
  else for (const line of describeReport(report)) print(line);
  return chooseExitCode(report, isStrict);
}

function readText(path: string): Promise<string> {
  return readFile(path, 'utf8').catch(() => {
    throw new ClientFailure(
      `${path} cannot be read; check the path`,
      ConfigurationExitCode.ERRORS,
    );
  });
}

function chooseExitCode(
  {findings}: ConfigurationReport,
  isStrict: boolean,
): ConfigurationExitCode {
  if (findings.some(({severity}) => severity === 'error'))
    return ConfigurationExitCode.ERRORS;
  if (isStrict && findings.length > 0) return ConfigurationExitCode.WARNINGS;
  return ConfigurationExitCode.CLEAN;
}
