import {
  VersionState,
  type Configuration,
  type Version,
} from '@bayspool/decisions';

const AUTO_MODEL = 'auto';
const MODEL_OWNER = 'bayspool';

/** Creates the body of `GET /v1/models`: the versions that the tasks of a workspace allow, their models, and `auto`. */
export function createModelsList(
  config: Configuration,
  workspace: string,
): object {
  const tasks = Object.values(config.workspaces[workspace]?.tasks ?? {});
  const versions = [...new Set(tasks.flatMap(task => task.versions))]
    .map(id => config.versions[id])
    .filter(
      (version): version is Version =>
        version !== undefined && version.state !== VersionState.WITHDRAWN,
    );
  const models = new Set(versions.map(version => version.model));
  const ids = [
    AUTO_MODEL,
    ...[...models].sort(),
    ...versions.map(version => version.id).sort(),
  ];
  return {
    object: 'list',
    data: ids.map(id => ({
      id,
      object: 'model',
      created: 0,
      owned_by: MODEL_OWNER,
    })),
  };
}
