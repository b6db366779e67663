import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

const folder = import.meta.dirname;

/** Runs a program that handles rejections as the daemon does, and returns its exit code and its output. */
const runProgram = async (statement: string): Promise<{ code: number; output: string }> => {
  const program = `
    import { reportUnhandledRejections } from '${folder}/lastResort.ts';
    import { TaskSupervisor } from '${folder}/../../utils/taskSupervisor.ts';
    import { noMetrics as metrics } from '${folder}/../../adapters/system/noMetrics.ts';
    import { RoarrLogger } from '${folder}/../../adapters/system/roarrLogger.ts';
    import { SystemClock } from '${folder}/../../adapters/system/systemClock.ts';
    const logger = RoarrLogger.create('info', 'vm', {
      write: (line) => process.stdout.write(line + '\\n'),
    });
    reportUnhandledRejections(TaskSupervisor.create({ clock: SystemClock.create(), logger, metrics }));
    ${statement};
    setTimeout(() => process.exit(7), 200);`;
  const args = ['--import', 'tsx', '--input-type=module', '--eval', program];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'ignore'] });
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
  const [code] = (await once(child, 'close')) as [number];
  return { code, output };
};

// Guards against one task that ends the process, and with it the runs and callers of all others.
test('a rejection that nothing waits for is logged, and the process goes on', async () => {
  const { code, output } = await runProgram(`void Promise.reject(new Error('odd'))`);
  assert.is(code, 7);
  assert.ok(output.includes('Failed: a task that nothing waits for.') && output.includes('odd'));
});

test('an exception outside of every promise ends the process', async () => {
  const { code } = await runProgram(`setTimeout(() => { throw new Error('odd'); }, 10)`);
  assert.is(code, 1);
});

test.run();
