import js from '@eslint/js';
import { defineConfig } from 'eslint/config';
import tseslint from 'typescript-eslint';

/** Modules that access external systems: only adapters, programs and stand-ins may import them. */
const outsideModules = [
  'node:http',
  'node:net',
  'node:dgram',
  'node:fs',
  'node:fs/promises',
  'undici',
  'ws',
  'hot-shots',
  'roarr',
  'json-rpc-2.0',
  'yaml',
  'clipanion',
];

export default defineConfig(
  { ignores: ['dist/', 'node_modules/', 'bench/out/', 'soak/out/', 'target/'] },
  js.configs.recommended,
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: { allowDefaultProject: ['eslint.config.js'] },
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: false },
      ],
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-confusing-void-expression': [
        'error',
        { ignoreArrowShorthand: true, ignoreVoidReturningFunctions: true },
      ],
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      '@typescript-eslint/require-await': 'off',
      'no-console': 'error',
      'max-lines': ['error', { max: 300 }],
    },
  },
  {
    // Decisions and ports must not depend on the encoding of messages or on external systems.
    files: ['src/**/*.ts'],
    ignores: ['src/adapters/**', 'src/programs/**', 'src/**/*.spec.ts', 'src/testing/**'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: outsideModules.map((name) => ({
            name,
            message: 'Decisions reach the outside world through a port in src/ports.',
          })),
          patterns: [
            {
              group: ['**/adapters/**', '**/programs/**', '**/standins/**', '**/platform/**'],
              message: 'Decisions must not import adapters; use a port in src/ports.',
            },
          ],
        },
      ],
    },
  },
  {
    // Ports and types import only types and errors.
    files: ['src/ports/**/*.ts', 'src/types/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: outsideModules.map((name) => ({
            name,
            message: 'Ports and types know nothing of the outside world.',
          })),
          patterns: [
            {
              regex: '^\\.\\./(?!types/|errors/)',
              message: 'Ports and types import types and errors only.',
            },
          ],
        },
      ],
    },
  },
  {
    // The platform's names stay in platform/: only the programs import the folder.
    files: ['src/adapters/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [{ group: ['**/platform/**'], message: 'Adapters must not import platform/.' }],
        },
      ],
    },
  },
  {
    // platform/ holds names, formats and calls; it must not import decisions.
    files: ['platform/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['**/dispatch/**', '**/bestEffort/**', '**/placement/**', '**/queue/**'],
              message: 'platform/ decides nothing; it implements ports.',
            },
            {
              group: ['**/fleet/fleet*', '**/fleet/shard*'],
              message: 'platform/ decides nothing.',
            },
          ],
        },
      ],
    },
  },
);
