import gts from 'gts';

export default [
  // target/ holds the bundle, and copies of the tree that are played.
  {ignores: ['**/dist/', '**/node_modules/', 'target/']},
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {project: null, projectService: true},
    },
    rules: {
      // Express tells an error handler by its four parameters.
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
    },
  },
];
