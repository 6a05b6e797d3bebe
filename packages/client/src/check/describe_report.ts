import type {ConfigurationReport} from '@bayspool/platform/checks';

type Comparison = NonNullable<ConfigurationReport['comparison']>;
type Difference = Comparison['differences'][number];

/** Describes the findings on a configuration, and its differences from the one in force, in lines of text. */
export function describeReport({
  findings,
  comparison,
}: ConfigurationReport): string[] {
  return [
    ...findings.map(
      ({severity, subject, message}) => `${severity}: ${subject}: ${message}`,
    ),
    ...(comparison ? describeComparison(comparison) : []),
    describeTotals(findings),
  ];
}

function describeTotals(findings: ConfigurationReport['findings']): string {
  if (findings.length === 0) return 'in order';
  const errors = findings.filter(({severity}) => severity === 'error').length;
  return `errors: ${errors}, warnings: ${findings.length - errors}`;
}

function describeComparison({
  versionBefore,
  versionAfter,
  versionRises,
  differences,
}: Comparison): string[] {
  const rise = versionRises ? 'rises' : 'does not rise';
  return [
    `the version ${rise}: ${versionBefore} in force, ${versionAfter} in the file`,
    ...differences.map(describeDifference),
    `differences from the version in force: ${differences.length}`,
  ];
}

function describeDifference(difference: Difference): string {
  const {change, subject, field, before, after} = difference;
  if (field === undefined) return `${change}: ${subject}`;
  return `${change}: ${subject}: ${field}: ${describeValue(before)} -> ${describeValue(after)}`;
}

function describeValue(value: unknown): string {
  return value === undefined ? 'not set' : JSON.stringify(value);
}
