//! Export and import of a program's cached memory.

use {
    super::{
        EngineStandin,
        cache::Block,
        cost::{scaled, transfer},
    },
    crate::request::{Received, Refused, json_response, refused},
    http_types::Response,
    smol::Timer,
    std::collections::BTreeSet,
    trefoilring_core::ids::ProgramId,
};

/// A body that names a program.
#[derive(serde::Deserialize)]
pub(super) struct Named {
    pub program: String,
}

/// A program's memory as it travels. The stand-in moves names of prefixes, not numbers, and takes
/// the time of the real bytes.
#[derive(serde::Deserialize, serde::Serialize)]
struct Exported {
    blocks: Vec<ExportedBlock>,
}

#[derive(serde::Deserialize, serde::Serialize)]
struct ExportedBlock {
    hash: String,
    tokens: u64,
}

impl EngineStandin {
    pub(super) async fn export(&self, request: &Received) -> Result<Response, Refused> {
        let named: Named = request.json()?;
        let blocks = self.scheduler.state().cache.blocks_of(&named.program);
        if blocks.is_empty() {
            return Err(refused(404, "no memory is held for the program"));
        }
        self.move_tokens(&blocks).await;
        let exported = blocks.iter().map(|block| ExportedBlock {
            hash: blake3::Hash::from_bytes(block.hash).to_hex().to_string(),
            tokens: block.tokens,
        });
        Ok(json_response(&Exported { blocks: exported.collect() }))
    }

    pub(super) async fn import(&self, request: &Received) -> Result<Response, Refused> {
        let program = request.query("program").filter(|program| !program.is_empty());
        let program: ProgramId = program.ok_or_else(|| refused(400, "program is missing"))?.into();
        let exported: Exported = request.json()?;
        let blocks: Result<Vec<Block>, Refused> =
            exported.blocks.into_iter().map(to_block).collect();
        let blocks = blocks?;
        self.move_tokens(&blocks).await;
        let (mut evicted, now_us) = (BTreeSet::new(), self.scheduler.uptime_us());
        let mut state = self.scheduler.state();
        let has_room = state.cache.import(&blocks, &program, now_us, &mut evicted);
        state.log_evicted(&evicted);
        if !has_room {
            return Err(refused(503, "no room in the cache"));
        }
        state.log_stored(&program);
        Ok(crate::request::empty_response(204))
    }

    async fn move_tokens(&self, blocks: &[Block]) {
        let tokens = blocks.iter().map(|block| block.tokens).sum();
        Timer::after(scaled(transfer(tokens), self.scheduler.time_scale())).await;
    }
}

fn to_block(block: ExportedBlock) -> Result<Block, Refused> {
    /// Keeps sums of tokens far from overflow.
    const MAX_BLOCK_TOKENS: u64 = 1 << 32;
    let hash = blake3::Hash::from_hex(&block.hash)
        .map_err(|error| refused(400, format!("hash {}: {error}", block.hash)))?;
    if block.tokens > MAX_BLOCK_TOKENS {
        return Err(refused(400, format!("tokens {}: too many", block.tokens)));
    }
    Ok(Block { hash: *hash.as_bytes(), tokens: block.tokens })
}
