/**
 * `npm run openapi`: writes the OpenAPI description of the interface for callers to `docs/openapi.json`.
 */
import { writeFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { describeCallerInterface } from '../src/adapters/callerHttp/openApi.js';

const file = resolve(import.meta.dirname, '../docs/openapi.json');
writeFileSync(file, `${JSON.stringify(describeCallerInterface(), null, 2)}\n`);
